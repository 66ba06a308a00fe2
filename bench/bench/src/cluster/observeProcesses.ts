// Observes the processes of a run from outside: reads processor time and memory from the kernel, and fetches
// metrics from the metrics address.
import { readFileSync } from 'node:fs'
import { request as sendRequest } from 'node:http'
import { splitAddress } from '@siskinbeam/settings/splitAddress'

// Linux reports processor time in clock ticks of 10 ms.
const millisecondsPerTick = 10
const userTimeField = 11
const systemTimeField = 12

/** Returns the user and system time of a process in milliseconds; 0 if it has exited. */
export function readProcessorMilliseconds (processId: number): number {
  try {
    const fields = readFileSync(`/proc/${processId}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
    return (Number(fields[userTimeField]) + Number(fields[systemTimeField])) * millisecondsPerTick
  } catch {
    return 0
  }
}

/** Returns the resident memory of a process in megabytes; 0 if it has exited. */
export function readResidentMegabytes (processId: number): number {
  try {
    const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${processId}/status`, 'utf8'))
    return Number(match?.[1] ?? 0) / 1_024
  } catch {
    return 0
  }
}

/** Fetches the metrics of an entry host by name, without their common prefix; empty if it can't be reached. */
export function fetchMetrics (address: string, operatorKey: string): Promise<Map<string, number>> {
  const { host, port } = splitAddress(address)
  return new Promise(resolve => {
    const outgoing = sendRequest({ host, port, path: '/metrics', agent: false, timeout: 2_000, headers: { authorization: `Bearer ${operatorKey}` } }, response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', () => resolve(new Map()))
      response.on('end', () => resolve(parseMetrics(Buffer.concat(chunks).toString())))
    })
    outgoing.on('timeout', () => outgoing.destroy())
    outgoing.on('error', () => resolve(new Map()))
    outgoing.on('close', () => resolve(new Map()))
    outgoing.end()
  })
}

function parseMetrics (text: string): Map<string, number> {
  return new Map(text.split('\n').filter(line => line !== '').map(line => {
    const space = line.lastIndexOf(' ')
    return [line.slice(0, space).replace(/^siskinbeam_/, ''), Number(line.slice(space + 1))]
  }))
}
