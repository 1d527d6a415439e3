package org.sequoiareach.standin.kv;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.Size;

class KvStorePropertiesTest {

  private static final KeyRange ALL = new KeyRange("a", "\0");

  @Property(tries = 500, seed = "20261203")
  void matchesReferenceModel(@ForAll("transactions") List<Txn> txns) {
    KvStore store = new KvStore();
    KvReferenceModel reference = new KvReferenceModel();
    List<KvEvent> seen = new ArrayList<>();
    store.watch(ALL, 0, batch -> seen.addAll(batch.events()));
    for (Txn txn : txns) {
      boolean expected = reference.apply(txn);
      TxnResult result = store.commit(txn, 0);
      assertThat(result.succeeded()).isEqualTo(expected);
      assertThat(result.revision()).isEqualTo(reference.revision());
      assertThat(result.results()).isEqualTo(reference.results());
      assertThat(readAll(store)).isEqualTo(reference.entries());
    }
    assertThat(seen).isEqualTo(reference.events());
    List<KvEvent> replayed = new ArrayList<>();
    store.watch(ALL, 1, batch -> replayed.addAll(batch.events()));
    assertThat(replayed).isEqualTo(seen);
  }

  @Property(tries = 200, seed = "20261203")
  void deletesKeysOfExpiredLeases(
      @ForAll @Size(max = 12) List<Boolean> renewed, @ForAll("key") String other) {
    KvStore store = new KvStore();
    store.commit(Txn.of(new Operation.Put(other, "free", 0, false)), 0);
    for (int i = 0; i < renewed.size(); i++) {
      long lease = store.grantLease(0, 2, 0);
      store.commit(Txn.of(new Operation.Put("l" + i, "v", lease, false)), 0);
      if (renewed.get(i)) {
        store.keepLeaseAlive(lease, 1_500);
      }
    }
    store.expireLeases(1_999);
    assertThat(store.keyCount()).isEqualTo(renewed.size() + 1);
    store.expireLeases(2_000);
    long alive = renewed.stream().filter(isRenewed -> isRenewed).count();
    assertThat(store.leaseCount()).isEqualTo((int) alive);
    assertThat(store.keyCount()).isEqualTo((int) alive + 1);
    store.expireLeases(3_500);
    assertThat(readAll(store)).extracting(KeyValue::key).containsExactly(other);
  }

  @Provide
  Arbitrary<String> key() {
    return Arbitraries.of("a", "a/1", "a/2", "b", "b/1", "c");
  }

  @Provide
  Arbitrary<List<Txn>> transactions() {
    Arbitrary<List<Operation>> operations =
        operation().list().ofMaxSize(3).filter(KvStorePropertiesTest::putsEachKeyOnce);
    return Combinators.combine(comparison().list().ofMaxSize(2), operations, operations)
        .as(Txn::new)
        .list()
        .ofMaxSize(40);
  }

  private Arbitrary<Operation> operation() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 3),
            key(),
            Arbitraries.of("", "\0", "b", "c"),
            Arbitraries.of("x", "y"),
            Arbitraries.of(true, false))
        .as(
            (kind, key, end, value, flag) ->
                switch (kind) {
                  case 0, 1 -> new Operation.Put(key, value, 0, flag);
                  case 2 -> new Operation.Delete(new KeyRange(key, flag ? "" : end), flag);
                  default ->
                      new Operation.Range(new KeyRange(key, end), flag ? 1 : 0, false, false);
                });
  }

  private Arbitrary<TxnComparison> comparison() {
    return Combinators.combine(
            key(),
            Arbitraries.of("", "", "c"),
            Arbitraries.of(TxnComparison.Target.class),
            Arbitraries.of(TxnComparison.Result.class),
            Arbitraries.of("x", "y"),
            Arbitraries.longs().between(0, 8))
        .as(
            (key, end, target, result, value, number) ->
                new TxnComparison(new KeyRange(key, end), target, result, value, number));
  }

  private static boolean putsEachKeyOnce(List<Operation> operations) {
    List<String> keys =
        operations.stream()
            .filter(Operation.Put.class::isInstance)
            .map(operation -> ((Operation.Put) operation).key())
            .toList();
    return keys.stream().distinct().count() == keys.size();
  }

  private static List<KeyValue> readAll(KvStore store) {
    Txn read = Txn.of(new Operation.Range(ALL, 0, false, false));
    OperationResult result = store.commit(read, 0).results().get(0);
    return Optional.of(result)
        .map(OperationResult.Range.class::cast)
        .map(OperationResult.Range::entries)
        .orElseThrow();
  }
}
