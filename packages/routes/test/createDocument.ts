import type { Route } from "@clementinemux/routes/Route";
import type { RouteDocument } from "@clementinemux/routes/RouteDocument";
import { RouteKind } from "@clementinemux/routes/RouteKind";

/** Creates a valid document with one plain service, and one route for each of the given overrides. */
export function createDocument(version: number, routes: readonly Partial<Route>[] = [{}]): RouteDocument {
  return {
    version,
    routes: routes.map((route, index) => ({
      name: `r-${index}`,
      host: "app.test",
      pathPrefix: `/p${index}/`,
      kind: RouteKind.Idempotent,
      timeoutMs: 2000,
      objectiveMs: 300,
      gapObjectiveMs: 0,
      priority: 1,
      split: [{ service: "app", weight: 1 }],
      attempts: 2,
      isPublic: false,
      canResume: false,
      ...route,
    })),
    services: [{ name: "app", healthPath: "/health", maxConnections: 100, engine: null }],
    teams: [{ name: "team-a", keys: ["key-a"], priority: null }],
    limits: { maxHeaderBytes: 16_384, maxBodyBytes: 4096, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 },
  };
}
