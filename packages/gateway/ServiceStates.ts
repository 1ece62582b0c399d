import type { RoutedService } from "@clementinemux/routes/RoutedService";
import { GroupRecovery } from "./GroupRecovery";
import { PassMeter } from "./PassMeter";
import { RetryBudget } from "./RetryBudget";

type RetryBudgetOptions = ConstructorParameters<typeof RetryBudget>[0];

/** State that a gateway keeps for each service. */
export class ServiceStates {
  readonly #budgetOptions: RetryBudgetOptions;
  readonly #retryBudgets = new Map<string, RetryBudget>();
  readonly #passMeters = new Map<string, PassMeter>();
  readonly #recoveries = new Map<string, GroupRecovery>();

  constructor(budgetOptions: RetryBudgetOptions) {
    this.#budgetOptions = budgetOptions;
  }

  getRetryBudget(service: string): RetryBudget {
    const budget = this.#retryBudgets.get(service) ?? new RetryBudget(this.#budgetOptions);
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
