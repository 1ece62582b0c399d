import { createRequestKey } from "@clementinemux/crashes/createRequestKey";
import type { RoutedRequest } from "./RoutedRequest";

/**
 * Key of a request, equal for all attempts and repeats of it at any gateway: a digest of the service, model, team, method,
 * path with query, and body. Ids of attempts, deadlines, API keys and the position of a resumed stream do not change it.
 */
export function getRequestKey({ service, caller, team, request, body }: RoutedRequest): string {
  const { method = "GET", url = "/" } = request;
  return createRequestKey([service.name, caller.model, team, method, url], body);
}
