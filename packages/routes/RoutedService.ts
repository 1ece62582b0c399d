import type { ColdStart } from "./ColdStart";
import type { EngineParameters } from "./EngineParameters";

/** A service that routes can refer to. */
export interface RoutedService {
  readonly name: string;
  readonly healthPath: string;
  /** Most connections that one target accepts from all callers together. */
  readonly maxConnections: number;
  /** Null for plain services. */
  readonly engine: EngineParameters | null;
  /** Null or missing if cold targets are used like warm ones. */
  readonly coldStart?: ColdStart | null;
}
