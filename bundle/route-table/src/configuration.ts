// Configuration of an entry host: routes, services and limits for guests. The store accepts only valid
// configurations, so that no validation takes place here.

export interface WeightedService {
  service: string
  weight: number
}

/** A route. Times are in milliseconds. */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  prefix: string
  idempotent: boolean
  /** Maximum time from the arrival of a request to its final response. */
  timeoutMilliseconds: number
  /** Target latency; a response within this time has its full value for the guest. */
  targetLatencyMilliseconds: number
  /** 0 is the highest priority. */
  priority: number
  /** Maximum number of servers that one attempt of a guest may be sent to. */
  maximumAttempts: number
  services: WeightedService[]
}

export interface PlatformServiceConfiguration {
  name: string
  healthPath: string
  /** Maximum number of connections that a server accepts from all hosts together. */
  maximumConnections: number
}

export interface GuestLimits {
  maximumHeaderBytes: number
  maximumBodyBytes: number
  headerTimeoutMilliseconds: number
  idleTimeoutMilliseconds: number
}

export interface Configuration {
  /** Increases with each change, but not by a constant step. */
  version: number
  routes: Route[]
  services: PlatformServiceConfiguration[]
  limits: GuestLimits
}
