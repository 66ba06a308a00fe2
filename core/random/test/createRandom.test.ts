// Guards against runs that are not reproducible, and against samples that contain an element twice.
import assert from 'node:assert/strict'
import { test } from 'node:test'
import { createRandom, drawLognormal, sample } from '../src/createRandom.js'

test('the same seed gives the same numbers, all in [0, 1)', () => {
  const [first, second] = [createRandom(7), createRandom(7)]
  Array.from({ length: 1_000 }).forEach(() => {
    const value = first()
    assert.equal(value, second())
    assert.ok(value >= 0 && value < 1)
  })
})

test('the first numbers of small seeds are distributed evenly over the range', () => {
  const firsts = Array.from({ length: 1_000 }, (_, seed) => createRandom(seed + 1)())
  const counts = Array.from({ length: 10 }, (_, tenth) => firsts.filter(value => Math.floor(value * 10) === tenth).length)
  counts.forEach((count, tenth) => assert.ok(count > 60 && count < 140, `${count} of 1,000 first numbers in tenth ${tenth}`))
})

test('a sample contains distinct elements', () => {
  const random = createRandom(11)
  const elements = Array.from({ length: 20 }, (_, index) => index)
  Array.from({ length: 200 }).forEach(() => assert.equal(new Set(sample(random, elements, 5)).size, 5))
})

test('the lognormal distribution has the given mean', () => {
  const random = createRandom(13)
  const draws = Array.from({ length: 100_000 }, () => drawLognormal(random, 10, 0.5))
  const mean = draws.reduce((sum, draw) => sum + draw, 0) / draws.length
  assert.ok(Math.abs(mean - 10) < 0.1, `mean ${mean}`)
})
