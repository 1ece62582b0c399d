import type { Random } from "@clementinemux/common/Random";
import type { Route } from "./Route";

/** Chooses a service of the route at random by weight. A service with weight 0 is never chosen. */
export function chooseService({ split }: Route, random: Random): string | null {
  const total = split.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = random() * total;
  for (const { service, weight } of split) {
    remaining -= weight;
    if (weight > 0 && remaining < 0) {
      return service;
    }
  }
  return split.findLast(({ weight }) => weight > 0)?.service ?? null;
}
