package outcome

// Band is a class of prompt length.
type Band int

// The bands. Shorter prompts are scheduled first.
const (
	Short Band = iota
	Medium
	Long
	// BandCount is the number of bands.
	BandCount = 3
)

// Upper limits of the bands in tokens.
const (
	MaxShortTokens  = 8_000
	MaxMediumTokens = 100_000
)

// BytesPerToken is the length of a token that entries assume until an engine has
// tokenized the prompt.
const BytesPerToken = 4

// BandOf returns the band of a prompt length in tokens.
func BandOf(tokens int) Band {
	switch {
	case tokens <= MaxShortTokens:
		return Short
	case tokens <= MaxMediumTokens:
		return Medium
	}
	return Long
}

// String returns the name that metrics and logs use.
func (b Band) String() string {
	switch b {
	case Short:
		return "short"
	case Medium:
		return "medium"
	}
	return "long"
}

// EstimateTokens returns the estimated token count of a text of size bytes.
func EstimateTokens(size int) int {
	return (size + BytesPerToken - 1) / BytesPerToken
}
