import type { ServerResponse } from "node:http";

const tooLargeStatus = 413;

/** Refuses a request to a port that takes no bodies, and closes its connection without reading the body. */
export function refuseBody(response: ServerResponse): void {
  response.writeHead(tooLargeStatus, { Connection: "close", "Content-Length": 0 }).end();
}
