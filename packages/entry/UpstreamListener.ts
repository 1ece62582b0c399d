import type { IncomingHttpHeaders } from "node:http";

/** Hears how an exchange with an agent goes. */
export interface UpstreamListener {
  onHead(status: number, headers: IncomingHttpHeaders): void;
  onData(chunk: Buffer): void;
  onEnd(): void;
  /** `written` is false when it is proved that no byte of the request was written. */
  onError(written: boolean, error: Error): void;
}
