// What a run reads of its processes from outside: processor time and memory from the kernel, metrics
// from the operators' listener.
import { readFileSync } from 'node:fs'
import { request as sendRequest } from 'node:http'
import { splitAddress } from '@siskinbeam/settings/splitAddress'

// Linux counts processor time in hundredths of a second.
const millisecondsPerTick = 10
const userTimeField = 11
const systemTimeField = 12

/** Processor time of a process in milliseconds, user and system; 0 if it is gone. */
export function readProcessorMilliseconds (processId: number): number {
  try {
    const fields = readFileSync(`/proc/${processId}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
    return (Number(fields[userTimeField]) + Number(fields[systemTimeField])) * millisecondsPerTick
  } catch {
    return 0
  }
}

/** Resident memory of a process in megabytes; 0 if it is gone. */
export function readResidentMegabytes (processId: number): number {
  try {
    const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${processId}/status`, 'utf8'))
    return Number(match?.[1] ?? 0) / 1_024
  } catch {
    return 0
  }
}

/** Metrics of an entry host by name, without their common prefix; empty if it can't be reached. */
export function readMetrics (address: string, operatorKey: string): Promise<Map<string, number>> {
  const { host, port } = splitAddress(address)
  return new Promise(resolve => {
    const outgoing = sendRequest({ host, port, path: '/metrics', agent: false, timeout: 2_000, headers: { authorization: `Bearer ${operatorKey}` } }, answer => {
      const chunks: Buffer[] = []
      answer.on('data', (chunk: Buffer) => chunks.push(chunk))
      answer.on('error', () => resolve(new Map()))
      answer.on('end', () => resolve(parseMetrics(Buffer.concat(chunks).toString())))
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
