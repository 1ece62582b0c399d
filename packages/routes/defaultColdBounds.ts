import type { ColdBounds } from "./ColdBounds";

/** Bounds of a deployment that names none. */
export const defaultColdBounds: ColdBounds = { excess: 1.5, slack: 5 };
