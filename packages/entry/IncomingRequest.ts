import type { IncomingMessage, ServerResponse } from "node:http";

/** A caller's request that has been authenticated and given an id. */
export interface IncomingRequest {
  readonly requestId: string;
  readonly team: string;
  readonly path: string;
  readonly arrivedAtMs: number;
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
}
