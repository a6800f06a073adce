package ebonygw.gateway;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Histories in which {@link SharedQuota} admits more than the bound; see KNOWN-RED.txt. */
class SharedQuotaPartitionTest {
    @ParameterizedTest
    @ValueSource(longs = {-4342207913515703544L, -2440661466442373904L, -240745607078650787L})
    void entriesCutOffBesideAFullBucketAdmitNoMoreThanTheBound(long seed) {
        new SharedQuotaTest().noHistoryOfCutsLapsesAndRestartsAdmitsMoreThanTheBound(seed);
    }
}
