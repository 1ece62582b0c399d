import type { IncomingHttpHeaders } from "node:http";

/** Receives the events of an HTTP exchange with an agent. */
export interface UpstreamListener {
  onHead(status: number, headers: IncomingHttpHeaders): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  /** `written` is false only when no byte of the request was written. */
  onError(written: boolean, error: Error): void;
}
