import type { Random } from "@clementinemux/common/Random";
import { pickAtWeight } from "@clementinemux/common/pickAtWeight";
import type { Route } from "./Route";

/** Chooses a service of the route at random by weight. A service with weight 0 is never chosen. */
export function chooseService({ split }: Route, random: Random): string | null {
  const total = split.reduce((sum, { weight }) => sum + weight, 0);
  return pickAtWeight(split, ({ weight }) => weight, random() * total)?.service ?? null;
}
