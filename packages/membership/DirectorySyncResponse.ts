import type { DirectoryRecord } from "./DirectoryRecord";
import type { OriginState } from "./OriginState";

/** Answer to `directorySync`: a bounded part of what the asking relay lacks. */
export interface DirectorySyncResponse {
  readonly relay: string;
  readonly records: readonly DirectoryRecord[];
  /** What the asking relay knows of each origin once it has applied the records. */
  readonly origins: Readonly<Record<string, OriginState>>;
  /** More is held; ask again at once. */
  readonly more: boolean;
}
