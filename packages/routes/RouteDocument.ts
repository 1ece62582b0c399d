import type { CallerLimits } from "./CallerLimits";
import type { Route } from "./Route";
import type { RoutedService } from "./RoutedService";
import type { RouteTeam } from "./RouteTeam";

/** A complete routing configuration. The document with the highest version is active. */
export interface RouteDocument {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  /** Null if no request needs a key. */
  readonly teams: readonly RouteTeam[] | null;
  readonly limits: CallerLimits;
}
