package link

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

var errNoCertificates = errors.New("no PEM certificate in the file")

// LoadTLS returns client and server configurations for mutual TLS: both sides
// must present a certificate issued by the CA of the installation. The host name
// is not verified, because peers are reached by IP address and often replaced.
func LoadTLS(certFile, keyFile, caFile string) (client, server *tls.Config, err error) {
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, nil, fmt.Errorf("load certificate %s: %w", certFile, err)
	}
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, nil, fmt.Errorf("read CA: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, nil, fmt.Errorf("read CA %s: %w", caFile, errNoCertificates)
	}
	base := tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	client, server = base.Clone(), base.Clone()
	server.ClientAuth = tls.RequireAndVerifyClientCert
	server.ClientCAs = roots
	client.InsecureSkipVerify = true // VerifyConnection verifies the CA but not the host name
	client.VerifyConnection = verifyPeer(roots)
	return client, server, nil
}

func verifyPeer(roots *x509.CertPool) func(tls.ConnectionState) error {
	return func(state tls.ConnectionState) error {
		intermediates := x509.NewCertPool()
		for _, c := range state.PeerCertificates[1:] {
			intermediates.AddCert(c)
		}
		_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates,
			KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
		if err != nil {
			return fmt.Errorf("verify peer certificate: %w", err)
		}
		return nil
	}
}
