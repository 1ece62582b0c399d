import type { OriginState } from "./OriginState";

/** Body of `directorySync`: what the asking relay knows already. */
export interface DirectorySyncRequest {
  readonly relay: string;
  readonly origins: Readonly<Record<string, OriginState>>;
}
