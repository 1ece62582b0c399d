import type { TargetRecord } from "@clementinemux/registry/TargetRecord";
import type { GatewayContext } from "./GatewayContext";
import type { GroupRecovery } from "./GroupRecovery";
import type { Guard } from "./Guard";
import type { Permit } from "./Permit";
import type { RoutedService } from "@clementinemux/routes/RoutedService";
import { listPermitCandidates } from "./listPermitCandidates";
import { listUsableTargets } from "./listUsableTargets";

interface PermitWaitOptions {
  readonly context: GatewayContext;
  readonly service: RoutedService;
  /** Targets to which the request was already sent. */
  readonly tried: ReadonlySet<string>;
  readonly guard: Guard;
  /** Looks for a slot again. */
  readonly admit: () => void;
  /** Sends the request to a target for which it has a permit. */
  readonly send: (target: TargetRecord) => void;
}

/** The permits that one request asks for and waits for. */
export class PermitWait {
  readonly #options: PermitWaitOptions;
  #timer: NodeJS.Timeout | null = null;
  #hasProbed = false;
  #isCancelled = false;

  constructor(options: PermitWaitOptions) {
    this.#options = options;
  }

  /**
   * Limited targets that may have a permit within `waitMs`. The ranks of a group in recovery reject requests, so that it gets
   * a probe now and then only.
   */
  listCandidates(waitMs: number): readonly TargetRecord[] {
    const candidates = this.#listLimited(waitMs);
    return candidates.length > 0 && this.#takeRecoveryProbe() ? candidates : [];
  }

  /**
   * Asks for a permit of a limited target that nothing was heard of for a while, once for a request. Returns whether the
   * request waits for it.
   */
  probe(): boolean {
    const { permits } = this.#options.context;
    const isRecovering = this.#recovery?.isRecovering === true;
    const candidates = this.#hasProbed || isRecovering ? [] : this.#listLimited(0);
    const targets = candidates.filter((item) => permits.takeProbe(item));
    if (targets.length === 0) {
      return false;
    }
    this.#hasProbed = true;
    this.take(targets, 0);
    return true;
  }

  /** Sends the request with a permit of one of the targets; calls `onRefused`, by default `admit`, when there is none in time. */
  take(targets: readonly TargetRecord[], waitMs: number, onRefused = this.#options.admit): void {
    const { context, guard } = this.#options;
    void context.permits.take(targets, Math.max(0, waitMs)).then((permit) => {
      guard(() => {
        if (permit === null && !this.#isCancelled) {
          onRefused();
        } else if (permit !== null && !this.#isCancelled) {
          this.#await(permit, onRefused);
        }
      });
    });
  }

  cancel(): void {
    this.#isCancelled = true;
    clearTimeout(this.#timer ?? undefined);
  }

  get #recovery(): GroupRecovery | null {
    return this.#options.context.getGroupRecovery(this.#options.service);
  }

  #listLimited(waitMs: number): readonly TargetRecord[] {
    const { context, service, tried } = this.#options;
    return listPermitCandidates(context, service, tried, waitMs);
  }

  #takeRecoveryProbe(): boolean {
    return this.#recovery?.takeProbe(this.#options.context.options.clock.monotonicMs()) ?? true;
  }

  #await(permit: Permit, onRefused: () => void): void {
    const { context, guard, send } = this.#options;
    const use = (): void => {
      if (context.permits.checkValid(permit) && this.#isUsable(permit.target)) {
        send(permit.target);
      } else {
        onRefused();
      }
    };
    const startInMs = context.permits.getStartInMs(permit);
    if (startInMs === 0) {
      use();
    } else {
      this.#timer = setTimeout(() => {
        guard(use);
      }, startInMs);
    }
  }

  /** Whether the target still accepts requests, with or without a permit. */
  #isUsable({ id }: TargetRecord): boolean {
    const { context, service } = this.#options;
    const { healthy, slow, limited } = listUsableTargets(context, service.name);
    return [...limited, ...healthy, ...slow].some((target) => target.id === id);
  }
}
