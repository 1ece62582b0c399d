/** PEM contents for mutual authentication between our own processes. */
export interface TlsFiles {
  readonly key: string;
  readonly cert: string;
  readonly ca: string;
}
