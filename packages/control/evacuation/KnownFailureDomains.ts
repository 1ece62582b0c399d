import { failureDomainLimits } from "./failureDomainLimits";

/**
 * Failure domains that a process has heard of, or that the `routes` log holds. Longer memory than that of the registries, so
 * that a failure domain that has been cut off for minutes can still be evacuated. Of too many, the one that was not heard of for
 * the longest time is forgotten first.
 */
export class KnownFailureDomains {
  readonly #names = new Set<string>();

  get names(): readonly string[] {
    return [...this.#names];
  }

  has(name: string): boolean {
    return this.#names.has(name);
  }

  note(names: Iterable<string | null>): void {
    for (const name of new Set(names)) {
      if (name !== null && name !== "") {
        this.#names.delete(name);
        this.#names.add(name);
      }
    }
    for (const name of this.#names) {
      if (this.#names.size <= failureDomainLimits.maxNames) {
        return;
      }
      this.#names.delete(name);
    }
  }
}
