import type { Random } from "@clementinemux/common/Random";
import type { Route } from "./Route";

/** Draws a service of the route by weight; one without weight is never drawn. */
export function chooseService({ split }: Route, random: Random): string | null {
  const total = split.reduce((sum, { weight }) => sum + weight, 0);
  let left = random() * total;
  for (const { service, weight } of split) {
    left -= weight;
    if (weight > 0 && left < 0) {
      return service;
    }
  }
  return split.findLast(({ weight }) => weight > 0)?.service ?? null;
}
