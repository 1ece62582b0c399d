import type { Route } from "@clementinemux/routes/Route";
import type { RouteDocument } from "@clementinemux/routes/RouteDocument";
import { createDocument } from "../../routes/test/createDocument";

/** Creates a document whose service has cold targets that take `requestsPerS`. */
export function createColdDocument(
  requestsPerS: number,
  routes: readonly Partial<Route>[] = [{}],
): RouteDocument {
  const document = createDocument(1, routes);
  const coldStart = { requestsPerS, durationMs: 0 };
  return { ...document, services: document.services.map((service) => ({ ...service, coldStart })) };
}
