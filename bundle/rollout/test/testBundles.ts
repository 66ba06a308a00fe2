// Signed bundles for tests, good ones and forged ones.
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import type { Result } from '@siskinbeam/result-codes/codedError'
import { digestBundle } from '@siskinbeam/signatures/digestBundle'
import { createSigningKeyPair, readTrustedKeys } from '@siskinbeam/signatures/signingKeys'
import { createSignedBundle, SignerRole, type SignedBundle } from '@siskinbeam/signatures/signedBundle'
import { signBundle } from '@siskinbeam/signatures/signBundle'
import type { BundleHead } from '../src/bundleStores.js'

export const take = <Value>(result: Result<Value>): Value => {
  assert.ok(result.ok, JSON.stringify(result))
  return result.value
}
const [author, approver, stranger] = [createSigningKeyPair(), createSigningKeyPair(), createSigningKeyPair()]
export const trustedKeys = take(readTrustedKeys([author.publicKey, approver.publicKey]))

const example = JSON.parse(readFileSync(new URL('../../../../examples/bundles/trust.json', import.meta.url), 'utf8'))
const [service] = example.services
// One server keeps the thousands of verifications of a randomised run short.
const makeBody = (version: number, slots = 3): Record<string, unknown> =>
  ({ ...example, version, services: [{ ...service, servers: [{ ...service.servers[0], slots }] }] })
const sign = (document: SignedBundle, role: SignerRole, privateKey: string): SignedBundle => take(signBundle({ document, role, privateKey }))
const draft = (version: number, slots?: number): SignedBundle => take(createSignedBundle(makeBody(version, slots)))

export const makeSigned = (version: number, slots?: number): SignedBundle =>
  sign(sign(draft(version, slots), SignerRole.Author, author.privateKey), SignerRole.Approver, approver.privateKey)
export const headOf = (document: SignedBundle): BundleHead => ({ version: document.body.version as number, digest: document.digest })

/** Documents that no host may use: changed body, no approval, approval by a stranger, own approval, copied signatures. */
export const makeForged = (version: number): SignedBundle[] => {
  const good = makeSigned(version, 5)
  const unapproved = sign(draft(version, 6), SignerRole.Author, author.privateKey)
  const changed = makeBody(version, 9)
  return [
    { ...good, body: changed }, unapproved,
    sign(unapproved, SignerRole.Approver, stranger.privateKey),
    { ...unapproved, signatures: [...unapproved.signatures, { ...unapproved.signatures[0]!, role: SignerRole.Approver }] },
    { ...good, body: changed, digest: take(digestBundle(changed)) }
  ]
}
