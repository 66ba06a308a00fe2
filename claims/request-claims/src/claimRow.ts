// The table row that records the state of one idempotency key, and its JSON encoding. Values are
// validated on reading, because hosts that run another version may have written them.
import { z } from 'zod'

/** State of a claim row. */
export enum ClaimRowState {
  /** One attempt has the exclusive right to send the request. */
  Claimed = 'claimed',
  /** The holder did not send and will not send; the key may be claimed again. */
  Released = 'released',
  /** The request ran and its response is known. */
  Settled = 'settled',
  /** It is unknown whether the request ran; it will not be sent again. */
  Abandoned = 'abandoned'
}

/** A response as stored in a row. `body` is base64, or null if it was too large to store. */
export interface StoredResponse {
  status: number
  headers: Record<string, string | string[]>
  body: string | null
}

/** The value of a claim row. */
export interface ClaimRow {
  state: ClaimRowState
  /** ID of the attempt that claimed the key, see `formatAttempt`. */
  attempt: string
  fingerprint: string
  /** End of the lease in epoch milliseconds of the table service's clock. */
  leaseUntil: number
  /** The highest `siskinbeam-attempt` among the released claims of this key; 0 if none had the header. */
  guestAttempt: number
  answer?: StoredResponse
}

/** A row as the table service returns it. Callers use null for an absent row. */
export interface StoredRow {
  value: unknown
  version: number
}

/** Identifies an attempt by the entry host, the boot of that host and a sequence number within the boot. */
export interface AttemptId {
  host: string
  boot: string
  sequence: number
}

const rowSchema = z.object({
  state: z.enum(ClaimRowState),
  attempt: z.string().min(1),
  fingerprint: z.string(),
  leaseUntil: z.number(),
  guestAttempt: z.number().int().min(0),
  answer: z.object({
    status: z.number().int().min(100).max(999),
    headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
    body: z.string().nullable()
  }).optional()
}).refine(({ state, answer }) => (state === ClaimRowState.Settled) === (answer !== undefined))

/** Formats an attempt ID as `host/boot/sequence`, its form in a row. */
export function formatAttempt ({ host, boot, sequence }: AttemptId): string {
  return `${host}/${boot}/${sequence}`
}

/** Returns the row key of a request. Service names contain no slash, so keys of different services cannot collide. */
export function formatClaimKey (service: string, idempotencyKey: string): string {
  return `claim/${service}/${idempotencyKey}`
}

/** Encodes a row as a JSON value. */
export function encodeClaimRow (row: ClaimRow): Record<string, unknown> {
  return { ...row }
}

/** Decodes the JSON value of a row. Returns undefined if it is not a valid claim row. */
export function decodeClaimRow (value: unknown): ClaimRow | undefined {
  const parsed = rowSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}

/** Converts a response to its stored form. `body` is null if the caller did not buffer it; larger bodies than the maximum are not stored. */
export function toStoredResponse ({ status, headers, body }: { status: number, headers: StoredResponse['headers'], body: Uint8Array | null }, maximumBodyBytes: number): StoredResponse {
  const isStored = body !== null && body.byteLength <= maximumBodyBytes
  return isStored
    ? { status, headers, body: Buffer.from(body).toString('base64') }
    : { status, headers: {}, body: null }
}
