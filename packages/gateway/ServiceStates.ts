import type { RoutedService } from "@clementinemux/routes/RoutedService";
import type { GatewayOptions } from "./GatewayOptions";
import { GroupRecovery } from "./GroupRecovery";
import { PassMeter } from "./PassMeter";
import { RetryBudget } from "./RetryBudget";

type BudgetOptions = Pick<GatewayOptions, "repeatRatio" | "repeatSlack" | "repeatWindowMs">;

/** State that a gateway keeps for each service, created when it is first asked for. */
export class ServiceStates {
  readonly #options: BudgetOptions;
  readonly #retryBudgets = new Map<string, RetryBudget>();
  readonly #passMeters = new Map<string, PassMeter>();
  readonly #recoveries = new Map<string, GroupRecovery>();

  constructor(options: BudgetOptions) {
    this.#options = options;
  }

  getRetryBudget(service: string): RetryBudget {
    const { repeatRatio: ratio, repeatSlack: slack, repeatWindowMs: windowMs } = this.#options;
    const budget = this.#retryBudgets.get(service) ?? new RetryBudget({ ratio, slack, windowMs });
    this.#retryBudgets.set(service, budget);
    return budget;
  }

  getPassMeter(service: string): PassMeter {
    const meter = this.#passMeters.get(service) ?? new PassMeter();
    this.#passMeters.set(service, meter);
    return meter;
  }

  /** Null for services without rank groups. */
  getGroupRecovery({ name, engine }: RoutedService): GroupRecovery | null {
    if ((engine?.experts ?? null) === null) {
      return null;
    }
    const recovery = this.#recoveries.get(name) ?? new GroupRecovery();
    this.#recoveries.set(name, recovery);
    return recovery;
  }
}
