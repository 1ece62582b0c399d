import type { Clock } from "@clementinemux/common/Clock";
import type { Random } from "@clementinemux/common/Random";
import type { RankClient } from "@clementinemux/ranker/RankClient";
import type { RouteDocument } from "@clementinemux/routes/RouteDocument";
import type { Either } from "purify-ts/Either";
import type { Logger } from "roarr";

/** What a coordinator has to know at its start. */
export interface CoordinatorOptions {
  readonly name: string;
  readonly host: string;
  readonly framePort: number;
  /** Port of the metrics page; null serves none. */
  readonly metricsPort: number | null;
  readonly failureDomain: string;
  /** Folder of the replica's files; null on a machine without a disk, whose replica learns but never votes. */
  readonly dataFolder: string | null;
  /** Whether the fleet starts for the first time, so that a new log may be created. */
  readonly isBootstrap: boolean;
  /** Frame addresses of coordinators; hints that may be outdated. */
  readonly seeds: readonly string[];
  /** Voters that the steward aims for; odd. */
  readonly targetVoters: number;
  readonly decodeDocument: (bytes: Uint8Array) => Either<string, RouteDocument>;
  /** Opens the direct way to a rank at its address. */
  readonly openRank: (address: string) => RankClient;
  readonly clock: Clock;
  readonly random: Random;
  readonly logger: Logger;
  readonly onFatal: (error: Error) => void;
}
