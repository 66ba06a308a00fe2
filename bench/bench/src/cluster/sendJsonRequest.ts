// Sends JSON requests to the control addresses of the stand-ins and to the endpoints of entry hosts.
import { request as sendRequest } from 'node:http'
import { splitAddress } from '@siskinbeam/settings/splitAddress'

const timeoutMilliseconds = 5_000

/** Sends a JSON request to an address and returns the JSON of the response; undefined if it can't be reached within 5 s. */
export function sendJsonRequest (address: string, method: 'GET' | 'POST', path: string, body?: unknown): Promise<unknown> {
  const { host, port } = splitAddress(address)
  return new Promise(resolve => {
    const outgoing = sendRequest({ host, port, method, path, timeout: timeoutMilliseconds, agent: false, headers: { 'content-type': 'application/json' } }, response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.on('error', () => resolve(undefined))
      response.on('end', () => {
        const text = Buffer.concat(chunks).toString()
        resolve(text === '' ? {} : JSON.parse(text))
      })
    })
    outgoing.on('timeout', () => outgoing.destroy())
    outgoing.on('error', () => resolve(undefined))
    outgoing.end(body === undefined ? undefined : JSON.stringify(body))
  })
}
