/**
 * The item at which the weights of those before it and its own exceed `weight`; the last one with a weight if none does, as
 * sums of weights are not exact. Null when no item has a weight above 0.
 */
export function pickAtWeight<Item>(
  items: readonly Item[],
  getWeight: (item: Item, index: number) => number,
  weight: number,
): Item | null {
  let remaining = weight;
  let last: Item | null = null;
  for (const [index, item] of items.entries()) {
    const own = getWeight(item, index);
    if (own > 0) {
      remaining -= own;
      last = item;
    }
    if (remaining < 0) {
      return last;
    }
  }
  return last;
}
