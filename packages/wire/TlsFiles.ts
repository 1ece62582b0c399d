/** PEM contents for mutual TLS between our own processes. */
export interface TlsFiles {
  readonly key: string;
  readonly cert: string;
  readonly ca: string;
}
