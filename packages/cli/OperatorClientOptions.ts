/** Addresses, credentials and timeout of an `OperatorClient`. */
export interface OperatorClientOptions {
  /** URLs of control replicas, tried in this order. */
  readonly controlUrls: readonly string[];
  /** Bearer token; null for none. */
  readonly token: string | null;
  /** PEM of the certificate authority of the control replicas; null for the system's authorities. */
  readonly ca: string | null;
  /** Timeout of a request, including its retries. */
  readonly timeoutMs: number;
}
