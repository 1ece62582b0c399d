import type { CallerLimits } from "./CallerLimits";
import type { Route } from "./Route";
import type { RoutedService } from "./RoutedService";
import type { RouteTeam } from "./RouteTeam";

/** A complete routing configuration. Of two documents the one with the higher version is in force. */
export interface RouteDocument {
  readonly version: number;
  readonly routes: readonly Route[];
  readonly services: readonly RoutedService[];
  /** Null when requests need no key at all. */
  readonly teams: readonly RouteTeam[] | null;
  readonly limits: CallerLimits;
}
