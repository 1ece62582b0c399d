/** Unit in which targets are assigned to entries: a group, or a target without a group. */
export interface SubsetUnit {
  readonly id: string;
  readonly failureDomain: string;
  readonly region: string;
}
