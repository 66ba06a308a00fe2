// The configuration that an entry host serves: routes, services and the limits on guests. It arrives
// accepted, so it is only read here and never judged.

export interface WeightedService {
  service: string
  weight: number
}

/** A route. Times are milliseconds. */
export interface Route {
  name: string
  host: string
  /** Begins and ends with a slash. */
  prefix: string
  idempotent: boolean
  /** Longest time from the arrival of a request to its final answer. */
  timeoutMilliseconds: number
  /** An answer within this time has its full value for the guest. */
  targetLatencyMilliseconds: number
  /** 0 is the most important. */
  priority: number
  /** Servers that one attempt of a guest may be sent to. */
  maximumAttempts: number
  services: WeightedService[]
}

export interface ServiceRule {
  name: string
  healthPath: string
  /** Connections that a server accepts from all hosts together. */
  maximumConnections: number
}

export interface GuestLimits {
  maximumHeaderBytes: number
  maximumBodyBytes: number
  headerTimeoutMilliseconds: number
  idleTimeoutMilliseconds: number
}

export interface Configuration {
  /** Greater versions are newer; they grow in uneven steps. */
  version: number
  routes: Route[]
  services: ServiceRule[]
  limits: GuestLimits
}
