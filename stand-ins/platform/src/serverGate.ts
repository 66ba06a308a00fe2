// A TCP proxy in front of a server that can cut single hosts off from it. It tells hosts apart by the loopback address that they connect from.
import { connect, createServer, type AddressInfo, type Socket } from 'node:net'
import { resetSocket } from './resetSocket.js'

/** What becomes of the connections of a host that is cut off. */
export enum Cut {
  /** Open connections are reset, and new ones too. */
  Reset = 'reset',
  /** Open connections go silent, and new ones get no response. */
  Silent = 'silent',
  /** Open connections live on; new ones are reset. */
  RefuseNew = 'refuse-new',
  /** The same, but the open connections end one after the other. */
  EndSlowly = 'end-slowly'
}

export interface ServerGate {
  address: string
  /** Cuts hosts off, given by the addresses that they connect from. */
  cut: (hosts: readonly string[], kind: Cut) => void
  heal: () => void
  /** Number of connections that a host has opened and that were not cut. */
  countConnections: (host: string) => number
  stop: () => void
}

interface GatedConnection {
  host: string
  sockets: [Socket, Socket]
}

const connectionEndMilliseconds = 100

/** Starts a proxy in front of a server. */
export async function startServerGate (target: string): Promise<ServerGate> {
  const [targetHost, targetPort] = target.split(':')
  const connections = new Set<GatedConnection>()
  const counts = new Map<string, number>()
  let cutHosts: readonly string[] = []
  let kind: Cut | undefined
  const isCut = ({ host }: GatedConnection): boolean => cutHosts.includes(host)
  const isSilent = (connection: GatedConnection): boolean => kind === Cut.Silent && isCut(connection)
  const listCut = (): GatedConnection[] => [...connections].filter(isCut)
  const reset = ({ sockets }: GatedConnection): void => sockets.forEach(resetSocket)

  const server = createServer(client => {
    const host = client.remoteAddress ?? ''
    if (kind !== undefined && kind !== Cut.Silent && cutHosts.includes(host)) {
      resetSocket(client)
      return
    }
    const upstream = connect(Number(targetPort), targetHost)
    const connection: GatedConnection = { host, sockets: [client, upstream] }
    connections.add(connection)
    if (!isCut(connection)) counts.set(host, (counts.get(host) ?? 0) + 1)
    const pass = (from: Socket, to: Socket): void => {
      from.on('data', chunk => { if (!isSilent(connection)) to.write(chunk) })
      from.on('error', () => { if (!isSilent(connection)) resetSocket(to) })
      from.on('close', () => {
        connections.delete(connection)
        if (!isSilent(connection)) to.end()
      })
    }
    pass(client, upstream)
    pass(upstream, client)
  })
  // The lost bytes of a silent connection would be sent again on a network, so it ends with the cut.
  const endSilent = (): void => { if (kind === Cut.Silent) listCut().forEach(reset) }
  const isSameCut = (hosts: readonly string[], cutKind: Cut): boolean => kind === cutKind && hosts.join() === cutHosts.join()
  const timer = setInterval(() => { if (kind === Cut.EndSlowly) listCut().slice(0, 1).forEach(({ sockets }) => sockets.forEach(socket => socket.end())) }, connectionEndMilliseconds)
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve))
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    cut: (hosts, cutKind) => {
      if (isSameCut(hosts, cutKind)) return
      endSilent()
      cutHosts = hosts
      kind = cutKind
      if (kind === Cut.Reset) listCut().forEach(reset)
    },
    heal: () => {
      endSilent()
      cutHosts = []
      kind = undefined
    },
    countConnections: host => counts.get(host) ?? 0,
    stop: () => {
      clearInterval(timer)
      server.close()
      connections.forEach(reset)
    }
  }
}
