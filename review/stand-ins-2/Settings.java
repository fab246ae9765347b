import java.util.ArrayList;
import java.util.List;

/** Settings like those of the small deployment of the pages; each case changes what its claim names. */
final class Settings {
    int fleetSize = 1;
    int workers = 16;
    int mostTries = 8;
    boolean secondCopies = true;
    int maxOpen = 134;
    long statusGiveUpMs = 5000;
    long noticeGiveUpMs = 16000;
    long feeGiveUpMs = 28000;
    long windowMs = 10000;
    String dedupScope = "all";
    String batches = "20,1,1";
    double diskMb = 3;
    int sockets = 384;

    private static String type(String name, int aim, long giveUp, String repeat, String scope, long window, int worth,
            double late, boolean sequential) {
        return "{\"name\":\"" + name + "\",\"aim_ms\":" + aim + ",\"give_up_ms\":" + giveUp + ",\"repeat\":\"" + repeat
                + "\",\"dedup_scope\":\"" + scope + "\",\"window_ms\":" + window + ",\"worth\":" + worth
                + ",\"late_worth\":" + late + ",\"streaming\":false" + (sequential ? ",\"sequential\":true" : "") + "}";
    }

    String json(String name, int listen, int ops, String discovery, String known) {
        List<String> classes = new ArrayList<>();
        classes.add(type("status-sync", 1000, statusGiveUpMs, "safe", "all", 5000, 2, 0, false));
        classes.add(type("family-notice", 4000, noticeGiveUpMs, "keyed", dedupScope, windowMs, 1, 0.5, false));
        classes.add(type("fee-payment", 3000, feeGiveUpMs, "unsafe", "all", 5000, 4, 0.5, true));
        return "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + listen + "\",\"ops\":\"127.0.0.1:" + ops
                + "\",\"discovery\":\"" + discovery + "\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                + "\"memory_mb\":192,\"sockets\":" + sockets + ",\"disk_mb\":" + diskMb + "},\"known\":" + known
                + ",\"settings\":{\"classes\":[" + String.join(",", classes) + "],\"client_habits\":{\"marks_retry\":true},"
                + "\"domain_type\":\"deliver\",\"family_info\":{\"batch_by_kind\":[" + batches + "],\"carriage\":[0.06,0],"
                + "\"decay\":\"line\",\"separate_routes\":[true,true,false],\"turned_away_price\":0.05,\"workers\":"
                + workers + "},\"flavors\":[\"school-groups\",\"private-schools\",\"nurseries\"],\"fleet_size\":" + fleetSize
                + ",\"limits\":{\"cancel\":true,\"cpu_us_per_request\":0,\"cpu_us_per_s\":525000,\"dial_timeout_ms\":1500,"
                + "\"keepalive_ms\":10000,\"max_open\":" + maxOpen + ",\"max_retry_after_ms\":3000,\"max_streams\":1,"
                + "\"most_tries\":" + mostTries + ",\"peers\":false,\"probes\":true,\"retry_after\":true,\"second_copies\":"
                + secondCopies + "},\"me\":0,\"my_zone\":0,\"over_share_worth\":0.1,\"registry_mode\":\"push\","
                + "\"reporting\":{\"fields\":[],\"how\":\"none\"},\"round_ms\":5,\"rules\":{\"drain_grace_ms\":250,"
                + "\"fall_ms\":3000,\"fall_multiple\":2.5,\"grace_to_answer_ms\":250,\"must_ask_in_ms\":10000,"
                + "\"start_capacity\":0.14,\"warm_after_ms\":11000},\"tenants\":[],\"tier\":0,"
                + "\"tiers\":[\"partner-schools\"],\"value_by\":\"request\",\"weight_kind\":\"rough\","
                + "\"zones\":[\"hall-a\",\"hall-b\"]}}";
    }
}
