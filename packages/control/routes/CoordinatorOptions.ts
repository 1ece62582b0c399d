import type { Clock } from "@clementinemux/common/Clock";
import type { Random } from "@clementinemux/common/Random";
import type { RankClient } from "@clementinemux/ranker/RankClient";
import type { DiskOperations } from "@clementinemux/storage/DiskOperations";
import type { ColdBounds } from "@clementinemux/routes/ColdBounds";
import type { RouteDocument } from "@clementinemux/routes/RouteDocument";
import type { Either } from "purify-ts/Either";
import type { Logger } from "roarr";

/** Settings and dependencies of a coordinator. */
export interface CoordinatorOptions {
  readonly name: string;
  readonly host: string;
  readonly framePort: number;
  /** Port of the metrics page; null disables it. */
  readonly metricsPort: number | null;
  readonly failureDomain: string;
  /** Folder of the replica's files; null on an instance without a disk, whose replica stays a learner. */
  readonly dataFolder: string | null;
  /** The disk of this machine by default. */
  readonly disk?: DiskOperations | undefined;
  /** Whether this is the first start of the fleet, so that a new log may be created. */
  readonly isBootstrap: boolean;
  /** Addresses of coordinators for frames; hints that may be outdated. */
  readonly seeds: readonly string[];
  /** Desired number of voters; odd. */
  readonly targetVoters: number;
  /** What cold targets may get; 1.5 times their rate and 5 requests more by default. */
  readonly coldBounds?: ColdBounds | undefined;
  readonly decodeDocument: (bytes: Uint8Array) => Either<string, RouteDocument>;
  /** Opens a direct connection to the rank at an address. */
  readonly openRank: (address: string) => RankClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly onFatal: (error: Error) => void;
}
