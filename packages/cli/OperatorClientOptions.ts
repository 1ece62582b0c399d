/** Where and how the command line reaches control. */
export interface OperatorClientOptions {
  /** URLs of control replicas; tried in order. */
  readonly controlUrls: readonly string[];
  readonly token: string | null;
  /** PEM of the certificate authority of the control replicas. */
  readonly ca: string | null;
  /** Time for a whole command, resends included. */
  readonly timeoutMs: number;
}
