import type { Route } from "./Route";
import type { RouteDocument } from "./RouteDocument";
import type { RoutedService } from "./RoutedService";
import type { RouteTeam } from "./RouteTeam";

/** Index of a route document by host and path prefix, service name and key. */
export class RouteTable {
  readonly document: RouteDocument;
  readonly #hosts = new Map<string, Map<string, Route>>();
  readonly #services = new Map<string, RoutedService>();
  readonly #teams = new Map<string, RouteTeam>();
  readonly #gapObjectivesMs = new Map<string, number>();
  /** Priorities and objectives of the routes to each service. */
  readonly #demands = new Map<string, Set<string>>();

  constructor(document: RouteDocument) {
    this.document = document;
    for (const route of document.routes) {
      const host = route.host.toLowerCase();
      const prefixes = this.#hosts.get(host) ?? new Map<string, Route>();
      prefixes.set(route.pathPrefix, route);
      this.#hosts.set(host, prefixes);
      this.#addGapObjective(route);
      this.#addDemand(route);
    }
    for (const service of document.services) {
      this.#services.set(service.name, service);
    }
    for (const team of document.teams ?? []) {
      for (const key of team.keys) {
        this.#teams.set(key, team);
      }
    }
  }

  /** The route of the host with the longest prefix of the path; null if none matches. */
  findRoute(host: string, path: string): Route | null {
    const prefixes = this.#hosts.get(host.toLowerCase());
    if (prefixes === undefined) {
      return null;
    }
    const query = path.indexOf("?");
    const plain = query < 0 ? path : path.slice(0, query);
    for (let end = plain.lastIndexOf("/"); end >= 0; end = end === 0 ? -1 : plain.lastIndexOf("/", end - 1)) {
      const route = prefixes.get(plain.slice(0, end + 1));
      if (route !== undefined) {
        return route;
      }
    }
    return null;
  }

  findService(name: string): RoutedService | null {
    return this.#services.get(name) ?? null;
  }

  /** Strictest gap objective of the routes to the service, in ms; 0 if there is none. */
  getGapObjectiveMs(service: string): number {
    return this.#gapObjectivesMs.get(service) ?? 0;
  }

  /** Whether the routes to the service differ in priority or objective, so that the order of its requests matters. */
  hasMixedDemand(service: string): boolean {
    return (this.#demands.get(service)?.size ?? 0) > 1;
  }

  findTeam(key: string): RouteTeam | null {
    return this.#teams.get(key) ?? null;
  }

  #addDemand({ priority, objectiveMs, split }: Route): void {
    for (const { service } of split) {
      const demands = this.#demands.get(service) ?? new Set();
      this.#demands.set(service, demands.add(`${priority} ${objectiveMs}`));
    }
  }

  #addGapObjective({ gapObjectiveMs, split }: Route): void {
    for (const { service } of gapObjectiveMs > 0 ? split : []) {
      const known = this.#gapObjectivesMs.get(service) ?? Infinity;
      this.#gapObjectivesMs.set(service, Math.min(known, gapObjectiveMs));
    }
  }
}
