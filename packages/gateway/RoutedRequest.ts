import type { IncomingMessage, ServerResponse } from "node:http";
import type { Route } from "@clementinemux/routes/Route";
import type { RoutedService } from "@clementinemux/routes/RoutedService";
import type { CallerRequest } from "./CallerRequest";

/** A request that was read, authenticated and routed. */
export interface RoutedRequest {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly caller: CallerRequest;
  readonly body: Buffer;
  readonly route: Route;
  readonly service: RoutedService;
  /** Name of the team as the value of a header; null for none. */
  readonly team: string | null;
  readonly priority: number;
  readonly arrivedAtMs: number;
}
