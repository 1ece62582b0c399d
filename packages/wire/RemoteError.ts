/** Thrown by a message handler to send the peer a typed error instead of `internal`. */
export class RemoteError extends Error {
  readonly code: string;
  readonly detail: unknown;

  constructor(code: string, message: string, detail?: unknown) {
    super(message);
    this.name = "RemoteError";
    this.code = code;
    this.detail = detail;
  }
}
