// Creates signed bundles for tests, valid and forged.
import assert from 'node:assert/strict'
import { readFileSync } from 'node:fs'
import type { Result } from '@siskinbeam/result-codes/codedError'
import { digestBundle } from '@siskinbeam/signatures/digestBundle'
import { createSigningKeyPair, parseTrustedKeys } from '@siskinbeam/signatures/signingKeys'
import { createSignedBundle, SignerRole, type SignedBundle } from '@siskinbeam/signatures/signedBundle'
import { signBundle } from '@siskinbeam/signatures/signBundle'
import type { BundleHead } from '../src/bundleStores.js'

export const unwrap = <Value>(result: Result<Value>): Value => {
  assert.ok(result.ok, JSON.stringify(result))
  return result.value
}
const [author, approver, untrusted] = [createSigningKeyPair(), createSigningKeyPair(), createSigningKeyPair()]
export const trustedKeys = unwrap(parseTrustedKeys([author.publicKey, approver.publicKey]))

const example = JSON.parse(readFileSync(new URL('../../../../examples/bundles/trust.json', import.meta.url), 'utf8'))
const [service] = example.services
// A single server keeps bodies small, since a randomised run verifies thousands of them.
const makeBody = (version: number, slots = 3): Record<string, unknown> =>
  ({ ...example, version, services: [{ ...service, servers: [{ ...service.servers[0], slots }] }] })
const sign = (document: SignedBundle, role: SignerRole, privateKey: string): SignedBundle => unwrap(signBundle({ document, role, privateKey }))
const draft = (version: number, slots?: number): SignedBundle => unwrap(createSignedBundle(makeBody(version, slots)))

export const makeSigned = (version: number, slots?: number): SignedBundle =>
  sign(sign(draft(version, slots), SignerRole.Author, author.privateKey), SignerRole.Approver, approver.privateKey)
export const headOf = (document: SignedBundle): BundleHead => ({ version: document.body.version as number, digest: document.digest })

/**
 * Documents that every host must refuse: changed body, missing approval, approval with an untrusted key, approval
 * by the author, and changed body and digest with the original signatures.
 */
export const makeForged = (version: number): SignedBundle[] => {
  const valid = makeSigned(version, 5)
  const unapproved = sign(draft(version, 6), SignerRole.Author, author.privateKey)
  const changed = makeBody(version, 9)
  return [
    { ...valid, body: changed }, unapproved,
    sign(unapproved, SignerRole.Approver, untrusted.privateKey),
    { ...unapproved, signatures: [...unapproved.signatures, { ...unapproved.signatures[0]!, role: SignerRole.Approver }] },
    { ...valid, body: changed, digest: unwrap(digestBundle(changed)) }
  ]
}
