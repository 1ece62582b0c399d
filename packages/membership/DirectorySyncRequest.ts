import type { OriginState } from "./OriginState";

/** Body of `directorySync`: what the requesting relay already knows. */
export interface DirectorySyncRequest {
  readonly relay: string;
  readonly origins: Readonly<Record<string, OriginState>>;
}
