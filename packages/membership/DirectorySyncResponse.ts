import type { DirectoryRecord } from "./DirectoryRecord";
import type { OriginState } from "./OriginState";

/** Response to `directorySync`: a bounded part of what the requesting relay is missing. */
export interface DirectorySyncResponse {
  readonly relay: string;
  readonly records: readonly DirectoryRecord[];
  /** What the requesting relay knows of each origin once it has applied the records. */
  readonly origins: Readonly<Record<string, OriginState>>;
  /** There are more records; send the next request at once. */
  readonly more: boolean;
}
