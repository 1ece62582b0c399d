/** Whether requests of a service that find no slot wait in a queue. */
export enum QueueMode {
  /** If the routes to the service differ in priority or in objective. */
  Auto = "auto",
  On = "on",
  /** Each request looks for a slot by itself, at intervals. */
  Off = "off",
}
