// The row of the table service that records what happened to one idempotency key, and its JSON form.
// The value is checked on reading, because hosts of another version may have written it.
import { z } from 'zod'

/** State of a claim row. */
export enum ClaimRowState {
  /** One attempt has the right to send. */
  Claimed = 'claimed',
  /** The holder did not send and will not send; the key may be claimed again. */
  Released = 'released',
  /** The request ran and its answer is known. */
  Settled = 'settled',
  /** Whether the request ran is not known; nobody will send it any more. */
  Abandoned = 'abandoned'
}

/** A response as it is stored. `body` is base64 and null when it was too large to keep. */
export interface StoredAnswer {
  status: number
  headers: Record<string, string | string[]>
  body: string | null
}

/** The value of a claim row. */
export interface ClaimRow {
  state: ClaimRowState
  /** Identity of the attempt that claimed the key: host, boot, sequence. */
  attempt: string
  fingerprint: string
  /** End of the lease in the table service's epoch milliseconds. */
  leaseUntil: number
  /** The greatest `siskinbeam-attempt` among the released claims of this key, 0 if none was numbered. */
  guestAttempt: number
  answer?: StoredAnswer
}

/** A row as the table service returns it; null stands for an absent row. */
export interface StoredRow {
  value: unknown
  version: number
}

/** Identifies one attempt on one boot of one entry host. */
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

/** Formats an attempt id for its row. */
export function formatAttempt ({ host, boot, sequence }: AttemptId): string {
  return `${host}/${boot}/${sequence}`
}

/** The key of the row of one request. The service name has no slash, so keys of two services never meet. */
export function formatClaimKey (service: string, idempotencyKey: string): string {
  return `claim/${service}/${idempotencyKey}`
}

/** Gives the JSON value of a row. */
export function encodeClaimRow (row: ClaimRow): Record<string, unknown> {
  return { ...row }
}

/** Reads the JSON value of a row, undefined if it is not a claim row. */
export function decodeClaimRow (value: unknown): ClaimRow | undefined {
  const parsed = rowSchema.safeParse(value)
  return parsed.success ? parsed.data : undefined
}

/** Prepares a response for its row. `body` is null when the caller did not keep it. */
export function storeAnswer ({ status, headers, body }: { status: number, headers: StoredAnswer['headers'], body: Uint8Array | null }, maximumBodyBytes: number): StoredAnswer {
  const kept = body !== null && body.byteLength <= maximumBodyBytes
  return kept
    ? { status, headers, body: Buffer.from(body).toString('base64') }
    : { status, headers: {}, body: null }
}
