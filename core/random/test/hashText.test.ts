// Guards against different contents with the same digest, and against digests that differ between two runs.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { digestBytes, digestText } from '../src/hashText.js'

test('digests of similar texts and bytes differ, and are the same each time', () => {
  const texts = Array.from({ length: 2_000 }, (_, index) => `GET desk.example/reads/${index}`)
  assert.equal(new Set(texts.map(digestText)).size, texts.length)
  assert.equal(new Set(texts.map(text => digestBytes(Buffer.from(text)))).size, texts.length)
  assert.equal(digestText('a'), digestText('a'))
  assert.match(digestBytes(Buffer.from('a')), /^[0-9a-f]{16}$/)
})
