import { createHash } from "node:crypto";
import type { RoutedRequest } from "./RoutedRequest";

const keyBytes = 16;

/**
 * Key of a request, equal for all attempts and repeats of it at any gateway: a digest of the service, model, team, method,
 * path with query, and body. Ids of attempts, deadlines, API keys and the position of a resumed stream do not change it.
 */
export function getRequestKey({ service, caller, team, request, body }: RoutedRequest): string {
  const { method = "GET", url = "/" } = request;
  // JSON keeps the fields apart, so that no caller can build the key of another one's request.
  const fields = JSON.stringify([service.name, caller.model, team, method, url]);
  const hash = createHash("sha256").update(`${fields}\n`).update(body);
  return `request/${hash.digest().subarray(0, keyBytes).toString("base64url")}`;
}
