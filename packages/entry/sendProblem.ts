import type { ServerResponse } from "node:http";
import { headerNames } from "@clementinemux/common/headerNames";
import type { Problem } from "./Problem";

/** Sends an error response. Does nothing when the caller has disconnected or the response has begun. */
export function sendProblem(response: ServerResponse, problem: Problem): void {
  if (response.destroyed || response.headersSent) {
    return;
  }
  response.writeHead(problem.status, {
    "content-type": "application/problem+json",
    "retry-after": String(Math.max(1, Math.ceil(problem.retryAfterMs / 1000))),
    [headerNames.requestId]: problem.requestId,
  });
  response.end(JSON.stringify(problem));
}
