// Calls to the control addresses of the stand-ins.
import { request as sendRequest } from 'node:http'
import { splitAddress } from '@siskinbeam/settings/splitAddress'

const timeoutMilliseconds = 5_000

/** Sends JSON to a control address and gives the JSON that comes back; undefined if it can't be reached. */
export function callControl (address: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<unknown> {
  const { host, port } = splitAddress(address)
  return new Promise(resolve => {
    const outgoing = sendRequest({ host, port, method, path, timeout: timeoutMilliseconds, agent: false, headers: { 'content-type': 'application/json' } }, answer => {
      const chunks: Buffer[] = []
      answer.on('data', (chunk: Buffer) => chunks.push(chunk))
      answer.on('error', () => resolve(undefined))
      answer.on('end', () => {
        const text = Buffer.concat(chunks).toString()
        resolve(text === '' ? {} : JSON.parse(text))
      })
    })
    outgoing.on('timeout', () => outgoing.destroy())
    outgoing.on('error', () => resolve(undefined))
    outgoing.end(body === undefined ? undefined : JSON.stringify(body))
  })
}
