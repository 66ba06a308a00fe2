// Names and addresses of all processes of a run. Each run uses a separate network in the loopback range, so that
// concurrent runs on a machine don't conflict. The third octet of an entry host's address is the number of its data
// centre, from which the stand-in servers derive the network delay.
import { formatServerName, type WorkloadService, type Workload } from '../workload.js'

/** Name and addresses of an entry host of a run. */
export interface PlannedEntryHost {
  name: string
  dataCentre: string
  ip: string
  guestAddress: string
  peerAddress: string
  metricsAddress: string
}

/** Name, addresses and configuration of a server of a run. */
export interface PlannedServer {
  name: string
  service: WorkloadService
  position: number
  dataCentre: string
  address: string
  controlAddress: string
  /** Round trips in milliseconds to the entry hosts of each data centre, in the format of the flag `network-delays`. */
  networkDelays: string
}

/** All processes of a run. */
export interface ClusterPlan {
  entryHosts: PlannedEntryHost[]
  servers: PlannedServer[]
  tableAddress: string
  tableControl: string
  objectStoreAddress: string
  objectStoreControl: string
  hostListAddress: string
  hostListControl: string
}

const guestPort = 8_000
const peerPort = 8_001
const metricsPort = 8_002
const servicePort = 9_000
const controlPort = 9_001
const firstServerOctet = 100
const platformOctet = 250

/** Selects a network of the loopback range, given by its second octet, from the process ID. */
export function selectLoopbackNetwork (processId: number): number {
  return 16 + processId % 200
}

/** Plans the entry host at a position. Entry hosts are spread over the data centres in turn. */
export function planEntryHost (workload: Workload, network: number, position: number): PlannedEntryHost {
  const dataCentre = position % workload.dataCentres.length
  const ip = `127.${network}.${dataCentre + 1}.${position + 1}`
  return {
    name: `entry-${position + 1}`,
    dataCentre: workload.dataCentres[dataCentre] as string,
    ip,
    guestAddress: `${ip}:${guestPort}`,
    peerAddress: `${ip}:${peerPort}`,
    metricsAddress: `${ip}:${metricsPort}`
  }
}

/** Plans all processes of a run. */
export function planCluster (workload: Workload, network: number, entryHosts: number): ClusterPlan {
  const planServer = (service: WorkloadService, servicePosition: number, position: number): PlannedServer => {
    const ownDataCentre = position % workload.dataCentres.length
    const ip = `127.${network}.${firstServerOctet + servicePosition}.${position + 1}`
    return {
      name: formatServerName(service.name, position),
      service,
      position,
      dataCentre: workload.dataCentres[ownDataCentre] as string,
      address: `${ip}:${servicePort}`,
      controlAddress: `${ip}:${controlPort}`,
      networkDelays: workload.dataCentres.map((_, other) => `${other + 1}:${other === ownDataCentre ? 0 : workload.roundTripMilliseconds}`).join(',')
    }
  }
  const planPlatformService = (number: number): { address: string, control: string } => ({
    address: `127.${network}.${platformOctet}.${number}:${servicePort}`,
    control: `127.${network}.${platformOctet}.${number}:${controlPort}`
  })
  const [table, objectStore, hostList] = [planPlatformService(1), planPlatformService(2), planPlatformService(3)] as const
  return {
    entryHosts: Array.from({ length: entryHosts }, (_, position) => planEntryHost(workload, network, position)),
    servers: workload.services.flatMap((service, servicePosition) =>
      Array.from({ length: service.servers }, (_, position) => planServer(service, servicePosition, position))),
    tableAddress: table.address,
    tableControl: table.control,
    objectStoreAddress: objectStore.address,
    objectStoreControl: objectStore.control,
    hostListAddress: hostList.address,
    hostListControl: hostList.control
  }
}
