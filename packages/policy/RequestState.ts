import type { RequestClass } from "@clementinemux/common/RequestClass";
import type { RetryReason } from "@clementinemux/common/RetryReason";
import type { AttemptState } from "./AttemptState";
import type { PolicyRequest } from "./PolicyRequest";
import type { TeamSettings } from "./TeamSettings";
import type { FairQueueItem } from "./admission/FairQueueItem";

/** State of a request from admission to its end. Also the item of the fair queue. */
export class RequestState implements FairQueueItem {
  readonly request: PolicyRequest;
  readonly settings: TeamSettings;
  /** Key of the model or service in `ServiceTimes`: target kind and name. */
  readonly model: string;
  /** Predicted duration of the remaining work. */
  costMs: number;
  /** Tokens charged against the team's limit at admission. */
  readonly chargedTokenCount: number;
  readonly attempts: AttemptState[] = [];
  readonly triedTargets = new Set<string>();
  readonly triedDomains = new Set<string>();
  attemptCount = 0;
  /** Tokens that the caller has received from attempts that have ended. */
  sentTokenCount = 0;
  /** Version of the target that produced these tokens; a resumed stream needs the same model weights. */
  sentByVersion: string | null = null;
  /** False as long as every attempt is proven not to have run. */
  mayHaveRun = false;
  retryReason: RetryReason | null = null;
  isQueued = false;
  hasPreempted = false;
  isHedged = false;

  constructor(
    request: PolicyRequest,
    settings: TeamSettings,
    model: string,
    costMs: number,
    chargedTokenCount: number,
  ) {
    this.request = request;
    this.settings = settings;
    this.model = model;
    this.costMs = costMs;
    this.chargedTokenCount = chargedTokenCount;
  }

  get requestClass(): RequestClass {
    return this.request.requestClass;
  }

  get classWeight(): number {
    return this.settings.classDefaults.weight;
  }

  get team(): string {
    return this.request.team;
  }

  get teamWeight(): number {
    return this.settings.teamWeight;
  }
}
