/** Order in which the classes of a queue are served. */
export enum ClassOrder {
  /** By weight: a class that becomes active is served next. */
  Weight = "weight",
  /** The class with the lowest number first; all classes behind it together keep a twentieth of the service. */
  Priority = "priority",
}
